import type { ChangeOutcome } from '@pewterlanding/controller';
import type { RegisterContent } from './registerContent.js';

/** What an operator was told. */
export type RegisterAnswer =
  | { readonly kind: 'outcome'; readonly outcome: ChangeOutcome['outcome']; readonly revision: number }
  | { readonly kind: 'content'; readonly version: number; readonly content: RegisterContent };
