import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';

/** Who holds a duty, under which epoch. */
export const SingletonRole = v.strictObject({ holder: NodeName, address: Address, term: Count });
export type SingletonRole = v.InferOutput<typeof SingletonRole>;
