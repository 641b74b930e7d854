import { isFields, renameFields } from '@pewterlanding/model';
import type { FieldRenamings } from '@pewterlanding/model';

const lease: FieldRenamings = { epoch: 'term' };
const itemRef: FieldRenamings = { lot: 'batch', place: 'position' };
const batch: FieldRenamings = {
  branch: 'quota',
  repeatable: 'idempotent',
  items: { fields: { tries: 'attempts', lease: { fields: lease } } },
  route: { fields: { tries: 'attempts' } },
};
const command: FieldRenamings = {
  t: { to: 'kind', values: { hand: 'submit' } },
  epoch: 'term',
  lot: { to: 'batch', fields: batch },
  lots: 'batches',
  ref: { fields: itemRef },
  refs: { fields: itemRef },
  lease: { fields: lease },
  claims: { fields: { ref: { fields: itemRef }, lease: { fields: lease } } },
  maxTries: 'maxAttempts',
};
const result: FieldRenamings = {
  why: { to: 'reason', values: { epoch: 'term' } },
  claimed: { fields: itemRef },
  epoch: 'term',
};
const snapshot: FieldRenamings = { epoch: 'term', lots: { to: 'batches', fields: batch } };

/** Reads what version 1 of a batch shard's format stored; values of the present format come out unchanged. */
export const batchShardFormat1 = {
  /** A command; those of the present format have no field `t`. */
  command: (raw: unknown): unknown => (isFields(raw) && raw['t'] !== undefined ? renameFields(raw, command) : raw),
  result: (raw: unknown): unknown => renameFields(raw, result),
  snapshot: (raw: unknown): unknown => renameFields(raw, snapshot),
};
