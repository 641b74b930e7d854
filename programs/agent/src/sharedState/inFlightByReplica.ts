import * as v from 'valibot';
import { Count } from '@pewterlanding/model';

/** Tasks a front has under way, by replica address. */
export const InFlightByReplica = v.record(v.string(), Count);
export type InFlightByReplica = v.InferOutput<typeof InFlightByReplica>;
