import * as v from 'valibot';
import { ItemId, ServiceName } from '@pewterlanding/model';

/** What a caller hands in. */
export const BatchBody = v.strictObject({
  service: ServiceName,
  items: v.array(v.strictObject({ id: ItemId, input: v.unknown() })),
});
export type BatchBody = v.InferOutput<typeof BatchBody>;
