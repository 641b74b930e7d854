import { isFields, renameFields } from '@pewterlanding/model';
import type { FieldRenamings } from '@pewterlanding/model';

const record: FieldRenamings = { t: 'kind', entries: { fields: { what: { to: 'payload', fields: { t: 'kind' } } } } };

/** Reads a record of version 1 of the log file's format; one of the present format comes out unchanged. */
export function logFileFormat1(raw: unknown): unknown {
  return isFields(raw) && raw['t'] !== undefined ? renameFields(raw, record) : raw;
}
