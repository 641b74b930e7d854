/** One error of a validation. */
export interface Finding {
  /** Dotted path of the field, such as `routes.r1.timeoutMs`; empty for the whole value. */
  readonly place: string;
  readonly message: string;
}
