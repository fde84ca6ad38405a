/** A disruption that the driver can play; each can be switched on alone. */
enum Trouble {
  /** An instance crashes and comes back under a new identifier at its old address. */
  CRASH,

  /** A head refuses connections; its group, heartbeats and open connections go on. */
  REFUSE,

  /** A head answers 409 to the order to leave its group and stays in it. */
  CONFLICT,

  /** Another listener answers 421 at the address of a head. */
  MISDIRECT,

  /** A head refuses connections and its heartbeats do not arrive; open connections go on. */
  CUT,

  /** All instances of a domain are cut off together and lose their open connections. */
  ISOLATE,

  /** The leader of the replicas stands still for some seconds. */
  STOP,

  /** The leader of the replicas is killed and started again. */
  KILL,

  /** Orders are carried out seconds late, answers are lost, and heartbeats are late. */
  LATE
}
