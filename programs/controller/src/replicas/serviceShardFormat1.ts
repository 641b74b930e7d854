import { renameFields } from '@pewterlanding/model';

/** Reads a command of version 1 of the service shard's format; one of the present format comes out unchanged. */
export function serviceShardFormat1(raw: unknown): unknown {
  return renameFields(raw, { t: 'kind' });
}
