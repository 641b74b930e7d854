import type { ExplorationScope } from './explorationScope.js';

/** The small groups that are explored: three members, one change of the group, two orders, one loss. */
export const explorationScopes: readonly ExplorationScope[] = [
  { name: 'one order at rest', orders: 1, stands: 0, loss: 'none', mayLose: [], mayStand: [] },
  { name: 'one order while another member takes over', orders: 1, stands: 1, loss: 'none', mayLose: [], mayStand: [2] },
  {
    name: 'two orders, a voter loses its vote, the leader ends and begins anew, another member takes over',
    orders: 2,
    stands: 1,
    loss: 'crash',
    mayLose: [1],
    mayStand: [2],
    demoted: 3,
  },
  {
    name: 'two orders, a follower loses its disk and is taken in anew, another member takes over',
    orders: 2,
    stands: 1,
    loss: 'disk',
    mayLose: [3],
    mayStand: [2],
  },
];
