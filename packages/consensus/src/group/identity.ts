import * as v from 'valibot';
import { Address, NodeName } from '@pewterlanding/model';

/** A member is its name plus the member id minted with its disk: an empty disk under an old name is somebody else. */
export const Identity = v.strictObject({ name: NodeName, address: Address, memberId: v.string() });
export type Identity = v.InferOutput<typeof Identity>;
