/** Names, in lower case, of the headers on opaque requests and their responses; a platform may configure others. */
export interface HeaderNames {
  /** The request's id, echoed on the response. */
  readonly task: string;
  /** Deadline of the sender: milliseconds from now that it will wait for the response. */
  readonly expiryMs: string;
  readonly retryAfter: string;
  /** On a success: shows that the response comes from the replica itself. */
  readonly seal: string;
  /** On a refusal: states that the replica did not run the request. */
  readonly notRun: string;
  /** On an attempt: the replica instance that is meant; any other responds 421 and does not run it. */
  readonly instance: string;
  /** Resume a stream after the event with this id. */
  readonly resumeAfter: string;
  readonly model: string;
  /** Prompt tokens and upper bound of output tokens, as `in,out`. */
  readonly tokens: string;
  /** Parts of the prompt in order, as `id:tokens,…`. */
  readonly parts: string;
  /** 0 to 9; 0 is served first. */
  readonly urgency: string;
  /** Long poll: milliseconds that a read may wait. */
  readonly holdMs: string;
}
