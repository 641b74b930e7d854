import * as v from 'valibot';
import { Address } from '../names/address.js';
import { ZoneName } from '../names/zoneName.js';

/** Where a machine that keeps files is. */
export const Place = v.strictObject({ address: Address, zone: ZoneName });
export type Place = v.InferOutput<typeof Place>;
