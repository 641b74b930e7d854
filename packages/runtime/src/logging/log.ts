/** Log of state changes of a process. Requests are not logged one by one; see Counters. */
export interface Log {
  info(line: string): void;
  warn(line: string): void;
  error(line: string): void;
}
