import type { ReplicaTask } from './replicaTask.js';
import type { RunEnd } from './runEnd.js';

/** The way to replicas. It never throws: every end of a try is a RunEnd. */
export interface ReplicaTransport {
  /** Pieces of a stream come numbered from 0 and in order, or the try ends as broken. Aborting closes the circuit. */
  run(task: ReplicaTask, piece: (data: string) => void, abort: AbortSignal): Promise<RunEnd>;
}
