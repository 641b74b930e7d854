import type { RegisterAnswer } from './registerAnswer.js';
import type { RegisterOrder } from './registerOrder.js';

/** One order in the operators' history. */
export interface RegisterOperation {
  readonly order: RegisterOrder;
  /** Place among all beginnings and ends of orders. */
  readonly began: number;
  /** Undefined where no answer came: it may have had its effect, or may have it at any later time. */
  readonly ended?: number | undefined;
  readonly answer?: RegisterAnswer | undefined;
}
