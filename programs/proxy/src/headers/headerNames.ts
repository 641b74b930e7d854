/** The names of the headers that opaque tasks and their returns carry; another ground may have others. */
export interface HeaderNames {
  /** The task's id, on the task and back on the return. */
  readonly task: string;
  /** Milliseconds that the downstream, or this front, will wait. */
  readonly expiryMs: string;
  readonly retryAfter: string;
  /** On a success: the replica's seal. */
  readonly seal: string;
  /** On a refusal: the replica did not run the task. */
  readonly notRun: string;
  /** On a try: the life of the replica that is meant; any other answers 421 and does not run it. */
  readonly instance: string;
  /** Continue a stream after the event with this id. */
  readonly resumeAfter: string;
  readonly model: string;
  /** Tokens of the prompt and the most out, as `in,out`. */
  readonly tokens: string;
  /** Parts of the prompt in order, as `id:tokens,…`. */
  readonly parts: string;
  /** 0 to 9, 0 first. */
  readonly urgency: string;
  /** How long a read may be held. */
  readonly holdMs: string;
}
