import * as v from 'valibot';
import { ItemId, ServiceName } from '@pewterlanding/model';

/** The body of a batch submission: the service that runs the items, and each item under an id that is unique in the batch. */
export const BatchBody = v.strictObject({
  service: ServiceName,
  items: v.array(v.strictObject({ id: ItemId, input: v.unknown() })),
});
/** See the schema. */
export type BatchBody = v.InferOutput<typeof BatchBody>;
