/** The replicas that serve a service. */
export interface ReplicaPool {
  /** The first of its replicas in order of name: equal for services that share replicas. */
  readonly name: string;
  /** Requests that the replicas can run at once. */
  readonly slots: number;
  readonly replicas: number;
}
