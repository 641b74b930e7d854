import type { ReplicaTask } from './replicaTask.js';
import type { RunEnd } from './runEnd.js';

/** Sends inspected requests to replicas. Never rejects: every outcome is a RunEnd. */
export interface ReplicaTransport {
  /**
   * `piece` gets the data of each event of a stream; they are numbered from 0 without a gap, or the attempt ends as broken.
   * Aborting destroys the connection.
   */
  run(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal): Promise<RunEnd>;
}
