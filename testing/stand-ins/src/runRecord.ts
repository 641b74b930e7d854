/** One run at a stand-in replica, for the history. `key` is what the caller put into the input to know its task by. */
export interface RunRecord {
  readonly key: string;
  readonly run: string;
  readonly replica: string;
  readonly service: string;
  readonly atMs: number;
  /** What it reads and will write. */
  readonly bytes: number;
}
