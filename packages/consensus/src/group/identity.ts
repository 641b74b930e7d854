import * as v from 'valibot';
import { Address, NodeName } from '@pewterlanding/model';

/** A member's node and the member id created with its disk: the same node with an empty disk is another member, which voted nothing. */
export const Identity = v.strictObject({ name: NodeName, address: Address, memberId: v.string() });
export type Identity = v.InferOutput<typeof Identity>;
