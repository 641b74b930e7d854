import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { strictFolders } from './tools/checks/doneFolders.mjs';

const documented = ['ClassDeclaration', 'FunctionDeclaration', 'TSInterfaceDeclaration', 'VariableDeclaration'];

/** Rules for the sources of folders that are done; others follow folder by folder. */
const strict = {
  files: strictFolders.map((folder) => `${folder}src/**/*.ts`),
  ignores: ['**/index.ts', '**/main.ts'],
  plugins: { jsdoc },
  rules: {
    'jsdoc/require-jsdoc': [
      'error',
      { publicOnly: { esm: true }, require: { FunctionDeclaration: false }, contexts: documented, enableFixer: false },
    ],
    'max-lines-per-function': ['error', { max: 60, skipBlankLines: true, skipComments: true }],
    'id-length': ['error', { min: 2, properties: 'never', exceptions: ['_', 'a', 'b', 'v', 'B', 'C', 'K', 'M', 'N', 'R', 'T', 'V'] }],
    'no-nested-ternary': 'error',
  },
};

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'target/**', 'journal/**', 'testing/fixtures/**'] },
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.recommended],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      'max-len': ['error', { code: 140 }],
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-non-null-assertion': 'error',
      '@typescript-eslint/no-floating-promises': [
        'error',
        { allowForKnownSafeCalls: [{ from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] }] },
      ],
      '@typescript-eslint/consistent-type-assertions': ['error', { assertionStyle: 'never' }],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-redeclare': 'off',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', ignoreRestSiblings: true }],
      'no-restricted-syntax': ['error', { selector: 'ExportDefaultDeclaration', message: 'Exports are named.' }],
    },
  },
  ...(strictFolders.length > 0 ? [strict] : []),
);
