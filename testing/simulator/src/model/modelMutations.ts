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
        file: `${consensus}/replication/leadership.js`,
        text: 'return !this.#hasEnded && this.#state.commitIndex >= this.#openIndex;',
        instead: 'return !this.#hasEnded;',
      },
    ],
  },
  {
    ...at,
    name: 'bestLogIsAdopted',
    edits: [{ file: `${consensus}/election/logAdoption.js`, text: 'if (best === undefined)', instead: 'if (true)' }],
  },
  {
    ...at,
    name: 'oneVoteATerm',
    edits: [
      {
        file: `${consensus}/member/requestHandler.js`,
        text: 'const granted = request.term > this.#state.currentTerm;',
        instead: 'const granted = request.term >= this.#state.currentTerm;',
      },
    ],
  },
  {
    ...at,
    name: 'repeatIsKnown',
    edits: [{ file: 'programs/controller/dist/src/configuration/changeRegister.js', text: "if (known === 'same')", instead: 'if (false)' }],
  },
];
