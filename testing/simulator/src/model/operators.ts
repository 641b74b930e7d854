import { changeOf } from './changeOf.js';
import { contentOf } from './contentOf.js';
import type { ModelNode } from './modelNode.js';
import type { RegisterAnswer } from './registerAnswer.js';
import type { RegisterOperation } from './registerOperation.js';
import type { RegisterOrder } from './registerOrder.js';

interface Operation {
  readonly order: RegisterOrder;
  readonly began: number;
  ended?: number;
  answer?: RegisterAnswer;
}

/** The operators: what they asked of which member, and what they were told. */
export class Operators {
  readonly #operations: Operation[] = [];
  #historyEvents = 0;
  /** The highest number that an operator was told of. */
  #known = 0;

  get history(): readonly RegisterOperation[] {
    return this.#operations;
  }

  get known(): number {
    return this.#known;
  }

  /** What was ordered so far and may be ordered again. */
  get orders(): readonly RegisterOrder[] {
    return this.#operations.map(({ order }) => order).filter(({ kind: t }) => t !== 'read');
  }

  /** Asks through one member, wherever the leader is. Resolves to the answer, or undefined where none came. */
  async ask(node: ModelNode, order: RegisterOrder): Promise<RegisterAnswer | undefined> {
    const operation: Operation = { order, began: this.#happened() };
    this.#operations.push(operation);
    const answer = await send(node, order).catch(() => undefined);
    if (answer === undefined) return undefined;
    operation.ended = this.#happened();
    operation.answer = answer;
    this.#known = Math.max(this.#known, answer.kind === 'content' ? answer.content.revision : answer.revision);
    return answer;
  }

  #happened(): number {
    this.#historyEvents += 1;
    return this.#historyEvents;
  }
}

async function send(node: ModelNode, order: RegisterOrder): Promise<RegisterAnswer> {
  if (order.kind === 'read') {
    const { version, configuration } = await node.operatorApi.configuration();
    return { kind: 'content', version, content: contentOf(configuration) };
  }
  const { outcome, revision } = await node.operatorApi.set(changeOf(order));
  return { kind: 'outcome', outcome, revision };
}
