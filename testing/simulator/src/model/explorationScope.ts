/** What may happen in the small group that is explored, besides deliveries and syncs. */
export interface ExplorationScope {
  readonly name: string;
  readonly orders: number;
  /** How often a member may be asked to take over. */
  readonly stands: number;
  readonly loss: 'none' | 'crash' | 'disk';
  /** Which machines the loss may strike. */
  readonly mayLose: readonly number[];
  /** Which machines may be asked to take over. */
  readonly mayStand: readonly number[];
  /** A voter that the one change takes its vote; none where the reconciler changes the group after a lost disk. */
  readonly demoted?: number;
}
