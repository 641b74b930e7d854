/** Where a change of state is told. Nothing is logged per task: that is what counters are for. */
export interface Log {
  info(line: string): void;
  warn(line: string): void;
  error(line: string): void;
}
