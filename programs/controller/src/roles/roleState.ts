import type { SingletonRole } from '@pewterlanding/agent';

/** What the roles read of the configuration shard's state: the committed holder of each singleton role. */
export interface RoleState {
  readonly singletonRoles: Readonly<Record<string, SingletonRole>>;
}
