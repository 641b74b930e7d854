/** The replicated state machine of a shard. `apply` has to be deterministic in state and command: every member runs it. */
export interface StateMachine<C, R> {
  /** How many commands are deduplicated by their ids, the same on all members; few where commands are idempotent. */
  readonly rememberedCommands?: number;
  /** Parses a command from the log; throws where it is not one. */
  read(raw: unknown): C;
  /** Applies a command and returns its result, which is stored for deduplication. */
  apply(command: C): R;
  /** Parses a stored result; throws where it is not one. */
  readReturn(raw: unknown): R;
  /** The whole state, in a form that CBOR can hold. */
  snapshot(): unknown;
  /** Replaces the state by a snapshot's; throws where it cannot be read. */
  restore(snapshot: unknown): void;
}
