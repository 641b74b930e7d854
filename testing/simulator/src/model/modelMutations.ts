import type { Mutation } from '../mutation/index.js';

/** A safeguard of the consensus or of the register, and a run of the model that fails without it within so many cases. */
interface ModelMutation extends Pick<Mutation, 'name' | 'edits'> {
  readonly tolerance: 1 | 2;
  readonly seed: number;
  readonly cases: number;
}

const consensus = 'packages/consensus/dist/src';
const at = { tolerance: 1, seed: 101, cases: 60 } as const;

/** Lines of shipped code without which the model finds a broken invariant. */
export const modelMutations: readonly ModelMutation[] = [
  {
    ...at,
    name: 'openingRecordFirst',
    edits: [
      {
        file: `${consensus}/election/leadership.js`,
        text: 'return !this.#over && this.#state.committed >= this.#openIndex;',
        instead: 'return !this.#over;',
      },
    ],
  },
  {
    ...at,
    name: 'bestLogIsAdopted',
    edits: [{ file: `${consensus}/election/election.js`, text: 'if (best === undefined)', instead: 'if (true)' }],
  },
  {
    ...at,
    name: 'oneVoteATerm',
    edits: [
      {
        file: `${consensus}/shard/member.js`,
        text: 'const granted = body.term > this.#state.currentTerm;',
        instead: 'const granted = body.term >= this.#state.currentTerm;',
      },
    ],
  },
  {
    ...at,
    name: 'repeatIsKnown',
    edits: [
      { file: 'programs/controller/dist/src/configuration/configurationShard.js', text: "if (known === 'same')", instead: 'if (false)' },
    ],
  },
];
