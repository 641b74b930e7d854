import * as v from 'valibot';
import { Address, ZoneName } from '../names/index.js';

/** Address and zone of a controller or store machine. */
export const Place = v.strictObject({ address: Address, zone: ZoneName });
export type Place = v.InferOutput<typeof Place>;
