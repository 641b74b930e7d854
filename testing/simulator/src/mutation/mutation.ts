interface Edit {
  /** A file of the built tree, and the exact text in it that is the safeguard, or a part of it. */
  readonly file: string;
  readonly text: string;
  /** What takes its place when the safeguard is out. */
  readonly instead: string;
}

/** Lines of shipped code that keep a rule, and the run that breaks the rule without them. */
export interface Mutation {
  readonly name: string;
  readonly rule: string;
  /** A scenario of the simulator, or a test file of the built tree that draws by the seed in `PROPERTY_SEED`. */
  readonly scenario: string;
  readonly seeds: readonly number[];
  /** Several edits where a rule is held at several places, any of which would do. */
  readonly edits: readonly Edit[];
  /** Run in CI; one for each rule is. */
  readonly ci?: boolean;
}
