import * as v from 'valibot';
import { Address, Count, ServiceName, ZoneName } from '@pewterlanding/model';

/** A replica as it announced itself. */
export const Replica = v.strictObject({
  service: ServiceName,
  address: Address,
  zone: v.optional(ZoneName),
  slots: v.pipe(Count, v.minValue(1)),
  /** Orders the announcements of one address, or of one instance where it has one. */
  incarnation: Count,
  /** Names one life of the replica process; another one at the same address is another replica. */
  instance: v.optional(v.pipe(v.string(), v.regex(/^[\x21-\x7e]{1,128}$/))),
  /** Models it serves. */
  models: v.optional(v.array(v.string())),
  /** `silent`: controllers have not heard it for so long that it counts as gone. */
  state: v.picklist(['serving', 'leaving', 'silent']),
});
export type Replica = v.InferOutput<typeof Replica>;
