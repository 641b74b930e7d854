import * as v from 'valibot';
import { Address, Count, ServiceName } from '@pewterlanding/model';

/** A command of a service shard: the usual output of a service was learned, or a replica without an instance name has left. */
export const ServiceCommand = v.variant('kind', [
  v.strictObject({ kind: v.literal('learn'), service: ServiceName, outputTokens: Count }),
  v.strictObject({ kind: v.literal('left'), service: ServiceName, address: Address, incarnation: Count }),
]);
export type ServiceCommand = v.InferOutput<typeof ServiceCommand>;
