/** Keys of the updates in the shared state, except those of shard groups. Sent between nodes, so their texts are fixed. */
export const updateKeys = {
  /** Node records, which the membership itself publishes. */
  nodes: 'node/',
  node: (name: string): string => `node/${name}`,
  /** The configuration in force. */
  configuration: 'setup',
  /** Freshness grants of the configuration shard's leader. */
  fresh: 'fresh',
  /** Who holds a singleton role, under which term. */
  singletonRole: (name: string): string => `duty/${name}`,
  replicas: 'replica/',
  /** By address, or by instance where the replica names one. */
  replica: (service: string, addressOrInstance: string): string => `replica/${service}/${addressOrInstance}`,
  /** What the service shard stores of it. */
  service: (name: string): string => `service/${name}`,
  /** A service's usual output, as the counter learned it. */
  usages: 'usage/',
  usage: (service: string): string => `usage/${service}`,
  /** A front's tasks in flight by replica. */
  uses: 'use/',
  use: (front: string): string => `use/${front}`,
} as const;
