"""Routes language-model requests by service level and priority."""
