import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** A front's tasks in flight, by replica address. */
export const InFlightByReplica = v.record(v.string(), Count);
export type InFlightByReplica = v.InferOutput<typeof InFlightByReplica>;
