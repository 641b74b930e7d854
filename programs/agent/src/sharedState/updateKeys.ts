/** Keys of the news that the fleet shares beside nodes and seats. */
export const updateKeys = {
  /** Nodes' cards, which the acquaintance itself tells. */
  nodes: 'node/',
  node: (name: string): string => `node/${name}`,
  configuration: 'setup',
  fresh: 'fresh',
  /** Who holds a duty, under which epoch. */
  singletonRole: (name: string): string => `duty/${name}`,
  replicas: 'replica/',
  /** By address, or by life where the replica names one. */
  replica: (service: string, addressOrInstance: string): string => `replica/${service}/${addressOrInstance}`,
  /** What the service's part keeps of it. */
  service: (name: string): string => `service/${name}`,
  /** What the counter learned of a service's output. */
  usages: 'usage/',
  usage: (service: string): string => `usage/${service}`,
  /** What a front has under way at each replica. */
  uses: 'use/',
  use: (front: string): string => `use/${front}`,
} as const;
