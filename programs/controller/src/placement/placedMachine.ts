import * as v from 'valibot';
import { Address, ZoneName } from '@pewterlanding/model';

/** A machine of the fleet that can hold copies of shards, as it last announced itself. */
export const PlacedMachine = v.strictObject({ role: v.picklist(['controller', 'store']), address: Address, zone: ZoneName });
export type PlacedMachine = v.InferOutput<typeof PlacedMachine>;
