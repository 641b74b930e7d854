import { nat } from 'fast-check';
import type { Arbitrary, AsyncCommand } from 'fast-check';
import type { ModelCluster } from './modelCluster.js';
import type { ModelMachine } from './modelMachine.js';

interface Deed {
  /** What a failing case prints. */
  readonly says: string;
  /** Whether it can be done now. */
  readonly can: (cluster: ModelCluster) => boolean;
  readonly act: (cluster: ModelCluster) => void;
  /** How long goes by before the next command. */
  readonly gapMs: number;
}

const maxDrawn = 14;
const leadersDrawn = 4;

/** One step of a case: something an operator asks, a fault, or its end. */
export class ModelCommand implements AsyncCommand<ModelCluster, ModelCluster> {
  /** What machines are drawn from. */
  static readonly drawn: Arbitrary<number> = nat({ max: maxDrawn });
  readonly #deed: Deed;

  constructor(deed: Deed) {
    this.#deed = deed;
  }

  /** The machine that a drawn number stands for: the newest or the oldest that leads for the highest ones, or one by its place. */
  static machine(cluster: ModelCluster, drawn: number): ModelMachine | undefined {
    const { machines } = cluster;
    const leading = machines
      .filter(({ node }) => node?.member?.isLeader === true)
      .sort((a, b) => (a.node?.member?.term ?? 0) - (b.node?.member?.term ?? 0));
    if (drawn > maxDrawn - leadersDrawn && leading.length > 0) return leading.at(drawn === maxDrawn ? -1 : 0);
    return machines[drawn % Math.max(1, machines.length)];
  }

  check(cluster: ModelCluster): boolean {
    return this.#deed.can(cluster);
  }

  async run(cluster: ModelCluster): Promise<void> {
    cluster.note(`-- ${this.toString()}`);
    cluster.steps += 1;
    this.#deed.act(cluster);
    cluster.look();
    await cluster.pass(this.#deed.gapMs);
  }

  toString(): string {
    return `${this.#deed.says}, ${this.#deed.gapMs} ms`;
  }
}
