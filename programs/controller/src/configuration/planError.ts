import type { Finding } from '@pewterlanding/model';

/** A proposal that cannot become a plan: nothing was stored. */
export class PlanError extends Error {
  constructor(readonly findings: readonly Finding[]) {
    super('the proposal has findings');
    this.name = 'PlanError';
  }
}
