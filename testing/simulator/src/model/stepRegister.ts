import type { RegisterAnswer } from './registerAnswer.js';
import type { RegisterOrder } from './registerOrder.js';
import type { RegisterState } from './registerState.js';

interface Step {
  readonly next: RegisterState;
  readonly answer: RegisterAnswer;
}

/** What an order does to the register, and what its operator must be told. */
export function stepRegister(state: RegisterState, order: RegisterOrder): Step {
  if (order.kind === 'read') return { next: state, answer: { kind: 'content', version: state.version, content: state.content } };
  const { revision, services } = state.content;
  const refused = (outcome: 'conflict' | 'invalid'): Step => ({ next: state, answer: { kind: 'outcome', outcome, revision } });
  const name = `${order.revision}/${order.token}`;
  if (state.taken.includes(name)) return { next: state, answer: { kind: 'outcome', outcome: 'taken', revision } };
  if (order.basedOn !== revision) return refused('conflict');
  if (order.revision <= revision || !isAcceptable(order, revision)) return refused('invalid');
  const content =
    order.kind === 'replace'
      ? { revision: order.revision, token: order.token, services: [] }
      : {
          revision: order.revision,
          token: state.content.token,
          services: [...new Set([...services.filter((one) => !order.drop.includes(one)), ...order.put])].sort(),
        };
  return {
    next: { version: state.version + 1, content, taken: [...state.taken, name] },
    answer: { kind: 'outcome', outcome: 'taken', revision: order.revision },
  };
}

/** There is nothing to amend before the first replacement. */
function isAcceptable(order: Exclude<RegisterOrder, { kind: 'read' }>, revision: number): boolean {
  return order.kind === 'replace' ? order.valid : revision > 0;
}
