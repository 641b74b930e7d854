import type { Mutation } from './mutation.js';

const controller = 'programs/controller/dist/src';
const consensus = 'packages/consensus/dist/src';

/** What keeps the control side's state through races, repeats, losses in turn, leavings and long absences. */
export const controlMutations: readonly Mutation[] = [
  {
    name: 'orderSentAgain',
    rule: 'an order has two outcomes, or two orders one number',
    scenario: 'ordersRepeated',
    seeds: [1, 2, 3],
    ci: true,
    edits: [
      {
        file: `${controller}/configuration/changeRegister.js`,
        text: "if (known === 'same')",
        instead: 'if (false)',
      },
    ],
  },
  {
    name: 'oneOrderOnAVersion',
    rule: 'an order has two outcomes, or two orders one number',
    scenario: 'ordersRace',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${controller}/configuration/changeRegister.js`,
        text: "if (basedOn !== current || (known === 'other' && revision > current))",
        instead: 'if (false)',
      },
      // The number alone would tell most of them apart.
      { file: `${controller}/configuration/changedConfiguration.js`, text: 'if (revision <= (now?.revision ?? 0))', instead: 'if (false)' },
    ],
  },
  {
    name: 'wipedIsReadmitted',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'disksLostInTurn',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${consensus}/reconfiguration/groupReconciler.js`,
        text: 'if (now === undefined || now.name !== identity.name || now.memberId === identity.memberId)',
        instead: 'if (true)',
      },
    ],
  },
  {
    name: 'settledMeansCounted',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'newestCopyLeaves',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${controller}/placement/storeDrain.js`,
        text: 'if (Object.values(machine.placement.shards).some((names) => names.includes(name)))',
        instead: 'if (false)',
      },
      {
        file: `${controller}/placement/storeDrain.js`,
        text: "return whole ? 'settled' : 'running';",
        instead: "return 'settled';",
      },
    ],
  },
  {
    name: 'bestLogIsAdopted',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'staleMemberReturns',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/election/logAdoption.js`, text: 'if (best === undefined)', instead: 'if (true)' }],
  },
  {
    name: 'newIdBeforeTheDamagedFileGoes',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'damagedThenPowerLost',
    seeds: [2, 3],
    edits: [
      {
        file: `${consensus}/shard/shardHost.js`,
        text: 'await this.#identities.mint(shard);\n            await new Journal(disk, fileOf(shard)).rewrite([]);',
        instead: 'await new Journal(disk, fileOf(shard)).rewrite([]);\n            await this.#identities.mint(shard);',
      },
    ],
  },
];
