import type { Mutation } from './mutation.js';

const controller = 'programs/controller/dist/src';
const consensus = 'packages/consensus/dist/src';

/** The safeguards of replicated shards and of what the configuration shard holds, shown by the tests of these. */
export const consensusMutations: readonly Mutation[] = [
  {
    name: 'repeatsOfTheDay',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'programs/controller/dist/test/configurationGrowth.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/configuration/changeRegister.js`, text: "if (known === 'same')", instead: 'if (false)' }],
  },
  {
    name: 'oneNumberOneChange',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'programs/controller/dist/test/configurationGrowth.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/configuration/changeRegister.js`, text: "(known === 'other' && revision > current)", instead: 'false' }],
  },
  {
    name: 'historyIsBounded',
    rule: 'service stays below a quarter after repair',
    scenario: 'programs/controller/dist/test/configurationGrowth.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/configuration/signedHistory.js`, text: '.slice(-maxSignedConfirmations)', instead: '' }],
  },
  {
    name: 'auditFileIsFilled',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'testing/simulator/dist/test/auditArchive.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${controller}/audit/auditArchive.js`, text: 'while (this.#through < head().entries)', instead: 'while (false)' }],
  },
  {
    name: 'logTail',
    rule: 'service stays below a quarter after repair',
    scenario: 'testing/simulator/dist/test/shardSnapshots.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/log/tailStart.js`, text: 'if (bytes > tailBytes && !isPinned)', instead: 'if (true)' }],
  },
  {
    name: 'snapshotIsPinned',
    rule: 'service stays below a quarter after repair',
    scenario: 'testing/simulator/dist/test/shardSnapshots.test.js',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${consensus}/replication/snapshotSender.js`,
        text: 'this.#transfers.get(memberId) ??',
        instead: '[this.#transfers.get(memberId)].find((one) => one?.encoded.snapshot === this.#state.log.snapshot) ??',
      },
    ],
  },
  {
    name: 'snapshotChecksum',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'testing/simulator/dist/test/shardSnapshots.test.js',
    seeds: [1, 2, 3],
    edits: [
      {
        file: `${consensus}/snapshot/snapshotReceiver.js`,
        text: '!== chunk.checksum)\n            return {',
        instead: "=== '')\n            return {",
      },
    ],
  },
  {
    name: 'lateSnapshotCutsNothing',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'testing/simulator/dist/test/shardSnapshots.test.js',
    seeds: [1, 2, 3],
    edits: [
      { file: `${consensus}/state/memberState.js`, text: 'if (this.log.termAt(snapshot.index) === snapshot.term)', instead: 'if (false)' },
    ],
  },
  {
    name: 'removalIsCommitted',
    rule: 'an accepted lot is lost, doubled or changed',
    scenario: 'testing/simulator/dist/test/shardMembership.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/shard/shardHost.js`, text: 'if (!member.groupCommitted)', instead: 'if (false)' }],
  },
  {
    name: 'staleTermIsRefused',
    rule: 'a confirmed setup is forgotten, or a refused one takes effect',
    scenario: 'testing/simulator/dist/test/shardMembership.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/member/requestHandler.js`, text: 'if (term < this.#state.currentTerm)', instead: 'if (false)' }],
  },
  {
    name: 'learnerThatKeepsUp',
    rule: 'service stays below a quarter after repair',
    scenario: 'testing/simulator/dist/test/shardRepair.test.js',
    seeds: [1, 2, 3],
    edits: [{ file: `${consensus}/member/member.js`, text: '(entriesBehind <= 1 || keepsUp)', instead: 'entriesBehind <= 1' }],
  },
];
