import * as v from 'valibot';
import { Count } from '@pewterlanding/model';
import { Balances } from '@pewterlanding/rate-limit';

/** A role that was released under a term, with the balances of its holder. Only the holder of the next term may use them. */
export const RoleHandover = v.strictObject({ role: v.string(), term: Count, balances: Balances });
export type RoleHandover = v.InferOutput<typeof RoleHandover>;
