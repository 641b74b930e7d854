import * as v from 'valibot';
import { Address, ZoneName } from '@pewterlanding/model';

const StandInService = v.strictObject({ kind: v.picklist(['streamed', 'whole']), runMs: v.number(), pieces: v.number() });

/** A deployment to run on one machine: its processes, its stand-in replicas and its callers' traffic. */
export const Deployment = v.strictObject({
  processes: v.array(v.strictObject({ program: v.picklist(['controller', 'store', 'agent', 'proxy']), bootSettings: v.string() })),
  replicas: v.array(
    v.strictObject({ address: Address, zone: ZoneName, slots: v.number(), services: v.record(v.string(), StandInService) }),
  ),
  traffic: v.array(
    v.strictObject({
      service: v.string(),
      quotas: v.pipe(v.array(v.string()), v.minLength(1)),
      perSecond: v.number(),
      padBytes: v.number(),
      batchItems: v.optional(v.number()),
    }),
  ),
});
export type Deployment = v.InferOutput<typeof Deployment>;
