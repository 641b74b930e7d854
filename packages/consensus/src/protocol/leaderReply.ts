import * as v from 'valibot';
import { Address } from '@pewterlanding/model';

/** The response to a call that only a shard's leader serves; other members return the leader's address, if they know it. */
export function leaderReply<T>(
  value: v.GenericSchema<unknown, T>,
): v.GenericSchema<unknown, { served: true; value: T } | { served: false; leader?: Address | undefined }> {
  return v.variant('served', [
    v.object({ served: v.literal(true), value }),
    v.object({ served: v.literal(false), leader: v.optional(Address) }),
  ]);
}
