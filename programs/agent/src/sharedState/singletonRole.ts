import * as v from 'valibot';
import { Address, Count, NodeName } from '@pewterlanding/model';

/** Who holds a singleton role, under which term. */
export const SingletonRole = v.strictObject({ holder: NodeName, address: Address, term: Count });
export type SingletonRole = v.InferOutput<typeof SingletonRole>;
