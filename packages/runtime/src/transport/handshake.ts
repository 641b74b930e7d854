import * as v from 'valibot';
import { Address } from '@pewterlanding/model';

/** The first frame of each side of a connection: its fleet, its transport version, and the address at which it accepts connections. */
export const Handshake = v.strictObject({ fleet: v.string(), version: v.number(), from: Address });
export type Handshake = v.InferOutput<typeof Handshake>;
