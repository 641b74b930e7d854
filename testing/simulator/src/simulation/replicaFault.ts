/** What is wrong with a replica that goes on announcing itself. */
export interface ReplicaFault {
  readonly kind:
    /** Runs the task and answers with an error. */
    | 'errors'
    /** Refuses with the status that says that it did not run, at once, or after the wait of a replica that is full. */
    | 'sheds'
    | 'busy'
    /** Runs the task and never answers. */
    | 'hangs'
    /** Takes nothing in and says nothing. */
    | 'mute'
    /** Breaks the connection once it has begun to run. */
    | 'resets'
    /** Breaks off in the middle of its answer. */
    | 'garbles'
    /** Runs the task to its end, and the answer is lost. */
    | 'answersLost'
    | 'slow';
  /** The part of its tasks that are met by it. */
  readonly ratio: number;
  /** How much longer a slow one takes. */
  readonly slowRatio?: number;
  /** Only callers in this zone are met by it. */
  readonly zone?: string;
}
