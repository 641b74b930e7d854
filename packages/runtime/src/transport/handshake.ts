import * as v from 'valibot';
import { Address } from '@pewterlanding/model';

/** The opening frame of a circuit: who dials, for which fleet, in which version of the words. */
export const Handshake = v.strictObject({ fleet: v.string(), version: v.number(), from: Address });
export type Handshake = v.InferOutput<typeof Handshake>;
