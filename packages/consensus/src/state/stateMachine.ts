/** What a shard keeps. `apply` must be a pure function of state and command: every member runs it. */
export interface StateMachine<C, R> {
  /** How many commands are remembered by their ids, on all members alike; a few where commands bear being applied again. */
  readonly rememberedCommands?: number;
  read(raw: unknown): C;
  apply(command: C): R;
  /** Reads a return that was kept with a remembered command. */
  readReturn(raw: unknown): R;
  snapshot(): unknown;
  restore(snapshot: unknown): void;
}
