/** One thing that may happen next in the small group that is explored. */
export type ExploredAction =
  | { readonly kind: 'deliver'; readonly channel: string }
  | { readonly kind: 'sync'; readonly machine: number }
  /** The next of the orders goes to a member that leads. */
  | { readonly kind: 'order'; readonly machine: number }
  /** The one change of the group, at a member that leads. */
  | { readonly kind: 'change'; readonly machine: number }
  /** A member is asked to take over, as by a leader that hands over. */
  | { readonly kind: 'stand'; readonly machine: number }
  /** The one loss: the process ends and a new one begins, on the same disk or on an empty one. */
  | { readonly kind: 'lose'; readonly machine: number };
