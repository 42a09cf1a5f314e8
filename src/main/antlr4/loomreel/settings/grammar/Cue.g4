/**
 * A strict subset of CUE (cuelang.org/docs/reference/spec): what is read here means the same to CUE's own tools. What is
 * left out has tokens of its own, so that it can be refused by name.
 */
grammar Cue;

@lexer::members {
    /** CUE ends a declaration at the end of a line, as if a comma stood there, after these. */
    private static final java.util.Set<Integer> ENDS = java.util.Set.of(IDENT, STRING, NUMBER, TRUE, FALSE, NULL, RPAREN,
            RBRACK, RBRACE, OPT, REQ, ELLIPSIS, TOP, BOTTOM);
    private int last = NEWLINE;

    @Override
    public Token nextToken() {
        while (true) {
            Token token = super.nextToken();
            if (token.getType() == NEWLINE) {
                if (!ENDS.contains(last)) {
                    continue;
                }
                ((org.antlr.v4.runtime.CommonToken) token).setType(COMMA);
            } else if (token.getType() == EOF && ENDS.contains(last)) {
                last = EOF;
                org.antlr.v4.runtime.CommonToken comma = new org.antlr.v4.runtime.CommonToken(token);
                comma.setType(COMMA);
                comma.setText("end of file");
                return comma;
            }
            last = token.getType();
            return token;
        }
    }
}

/** A document in JSON is one struct. */
file : (PACKAGE IDENT COMMA)? (LBRACE declarations RBRACE COMMA? | declarations) EOF ;
declarations : (declaration (COMMA declaration)* COMMA?)? ;
declaration : label+ expr # Field | ELLIPSIS # Open ;
label : name mark=(OPT | REQ)? COLON ;
name : IDENT | STRING | LBRACK expr RBRACK ;
expr : conjunction (OR conjunction)* ;
conjunction : marked (AND marked)* ;
marked : STAR? operand ;
operand
    : op=(LT | LE | GT | GE | NE | MATCH | NOMATCH) operand # Bound
    | op=(MINUS | PLUS) NUMBER # Signed
    | NUMBER # Number
    | STRING # Text
    | (TRUE | FALSE | NULL) # Constant
    | TOP # Top
    | BOTTOM # Bottom
    | IDENT (DOT (IDENT | STRING))* # Reference
    | LBRACE declarations RBRACE # Struct
    | LBRACK (items)? RBRACK # Listing
    | LPAREN expr RPAREN # Group
    ;
items : ELLIPSIS expr? COMMA? | expr (COMMA expr)* (COMMA ELLIPSIS expr?)? COMMA? ;

PACKAGE : 'package' ;
// Refused by name.
IMPORT : 'import' ;
FOR : 'for' ;
IF : 'if' ;
LET : 'let' ;
ATTRIBUTE : '@' [a-zA-Z_]+ ;
BYTES : '\'' ;
MULTILINE : '"""' ;
RAW : '#'+ '"' ;
ALIAS : '=' ;
ARITHMETIC : '/' | '||' | '&&' | '==' ;

TRUE : 'true' ;
FALSE : 'false' ;
NULL : 'null' ;
TOP : '_' ;
BOTTOM : '_|_' ;
IDENT : ('_#' | '#' | '_')? [a-zA-Z] [a-zA-Z0-9_$]* ;
NUMBER
    : '0x' [0-9a-fA-F] ('_'? [0-9a-fA-F])*
    | ('0' | [1-9] ('_'? [0-9])*) ('.' [0-9]+)? ([eE] [+-]? [0-9]+)? ([KMGT] 'i'?)?
    ;
STRING : '"' (~["\\\r\n] | '\\' ~[\r\n])* '"' ;
ELLIPSIS : '...' ;
LE : '<=' ;
GE : '>=' ;
NE : '!=' ;
MATCH : '=~' ;
NOMATCH : '!~' ;
LT : '<' ;
GT : '>' ;
AND : '&' ;
OR : '|' ;
STAR : '*' ;
MINUS : '-' ;
PLUS : '+' ;
DOT : '.' ;
COLON : ':' ;
COMMA : ',' ;
OPT : '?' ;
REQ : '!' ;
LBRACE : '{' ;
RBRACE : '}' ;
LBRACK : '[' ;
RBRACK : ']' ;
LPAREN : '(' ;
RPAREN : ')' ;
NEWLINE : '\r'? '\n' ;
COMMENT : '//' ~[\r\n]* -> skip ;
SPACE : [ \t]+ -> skip ;
OTHER : . ;
