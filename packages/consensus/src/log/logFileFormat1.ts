import { isFields, renameFields } from '@pewterlanding/model';
import type { FieldRenamings } from '@pewterlanding/model';

const record: FieldRenamings = { t: 'kind', entries: { fields: { what: { to: 'payload', fields: { t: 'kind' } } } } };

/** Reads a record of format 1 of the shard file; one of a later format comes out unchanged. */
export function logFileFormat1(raw: unknown): unknown {
  return isFields(raw) && raw['t'] !== undefined ? renameFields(raw, record) : raw;
}
